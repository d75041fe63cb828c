"""Control members without processes or sockets, for tests of operator commands."""

import attrs

from tests.test_accounts import MemoryDisk, attempt, refuse
from wagtailrun.account_store import AccountStore
from wagtailrun.accounts import Accounts
from wagtailrun.adapters.http_client import HttpReply
from wagtailrun.adapters.http_server import Request
from wagtailrun.codec import encode
from wagtailrun.cost_cells import Source, WorkKind
from wagtailrun.exceptions import ConnectFailed, TargetFailed, Verdict
from wagtailrun.local_log import LocalLog
from wagtailrun.operator_api import OperatorApi
from wagtailrun.ports.link import Address, PeerLink
from wagtailrun.registry import Registry

CREDENTIAL = "0123456789abcdef"
MEMBERS = [Address("10.0.0.1", 7), Address("10.0.0.2", 7)]


class DirectLink(PeerLink):
    """Hands messages to one handler."""

    def __init__(self, handler):
        self.handler = handler

    async def call(self, address, message, timeout_ms):
        return await self.handler(message)


class Members:
    """Two control members that share one registry; counts what reaches it."""

    def __init__(self):
        self.registry = Registry()
        self.log = LocalLog(self.registry)
        self.commands = []
        self.accounts = None
        self.dead = set()
        self.lose_answers = 0

    async def ask(self, message, timeout_ms):
        """Stand in for ``ControlClient.ask``."""
        self.commands.append(message)
        return await self.log.propose(encode(attrs.evolve(message, now_ms=1)), 1)

    def api(self):
        return OperatorApi(self.registry, self, CREDENTIAL, self.accounts)

    async def request(self, address, method, path, headers, body=b"", *, timeout_ms):
        """Stand in for ``HttpClient.request``."""
        if address in self.dead:
            raise ConnectFailed(f"cannot connect to {address}")
        path, _, query = path.partition("?")
        fields = {name.lower(): value for name, value in headers}
        request = Request(method, path, query, fields, body, "10.9.9.9")
        response = await self.api().handle(request)
        if self.lose_answers and method == "POST":
            self.lose_answers -= 1
            raise TargetFailed("connection silent", verdict=Verdict.MAY_HAVE_RUN)
        return HttpReply(response.status, dict(response.headers), response.body)

    async def fill_accounts(self, clock):
        """Record two refusals and two attempts."""
        self.accounts = AccountStore(clock, MemoryDisk(), "control-0")
        await self.accounts.open()
        link = DirectLink(self.accounts.handle)
        entry = Accounts(clock, link, Source("entry-0", 7), list, MEMBERS[:1], 1_000)
        await refuse(entry)
        await refuse(entry, "mill-clerks")
        attempt(entry)
        attempt(entry, work=WorkKind.RETRY)
        assert await entry.hand_over()
