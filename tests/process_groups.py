"""Says which test modules start many processes, and lets few of them run at once."""

from xdist.scheduler import LoadScopeScheduling

# One test of each group runs at once, however many workers there are. The modules start
# many processes or keep processors busy; the groups take about the same time.
PROCESS_GROUPS = (
    (
        "test_cut_entries_processes.py",
        "test_product_floods_processes.py",
    ),
    (
        "test_partition_processes.py",
        "test_planned_stop_processes.py",
        "test_stalled_log.py",
    ),
    (
        "test_accounts_processes.py",
        "test_full_disk_processes.py",
        "test_soak.py",
    ),
    (
        "test_bench_account.py",
        "test_connect_shortage_processes.py",
        "test_consensus_processes.py",
        "test_peer_listen_address.py",
        "test_processes.py",
        "test_relay_processes.py",
        "test_unending_bytes.py",
    ),
)
GROUP_BY_MODULE = {
    module: f"processes-{number}"
    for number, modules in enumerate(PROCESS_GROUPS, start=1)
    for module in modules
}


class GroupScheduling(LoadScopeScheduling):
    """Gives each group to one worker, and the other tests to any worker.

    Groups by marks (``xdist_group``) have no effect with pytest 9.2: pytest-xdist 3.8
    adds them to an attribute of the test that is no longer read.
    """

    def _split_scope(self, nodeid: str) -> str:
        module = nodeid.partition("::")[0].rpartition("/")[2]
        return GROUP_BY_MODULE.get(module, nodeid)
