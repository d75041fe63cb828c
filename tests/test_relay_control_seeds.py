"""Tests of the seeds of relay control members while they have no log."""

import attrs

from wagtailrun.ports.link import Address
from wagtailrun.relay.control import RelayControl
from wagtailrun.settings import RelayControlSettings

OWN = Address("10.0.0.1", 8_000)
LOST = Address("10.0.0.2", 8_000)
NEW = Address("10.0.0.3", 8_000)


def test_changes_go_to_the_seeds_that_were_reloaded(tmp_path):
    """Guards against changes that are forwarded to a VM that is gone for good.

    Without a log, the seeds are all that a member knows of the others.
    """
    settings = RelayControlSettings(
        name="c",
        data_centre="a",
        operator_address=Address("10.0.0.1", 8_001),
        peer_address=OWN,
        peer_secret=b"secret-of-this-test",
        metrics_address=Address("10.0.0.1", 8_002),
        data_folder=str(tmp_path),
        seeds=(OWN, LOST),
    )
    reloaded = attrs.evolve(settings, seeds=(OWN, NEW))
    control = RelayControl(settings, lambda store, hub: None, lambda: reloaded)
    assert control.member_addresses() == [LOST]
    control.live_settings.reload()
    assert control.member.peers == (OWN, NEW)
    assert control.member_addresses() == [NEW]
