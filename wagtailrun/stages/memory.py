"""Accounting of the memory that results occupy at the targets of a stage service."""

import attrs

from wagtailrun.ports.link import Address

__all__ = ["ResultMemory"]


@attrs.frozen
class _StoredResult:
    address: Address
    size: int
    until_ms: int


class ResultMemory:
    """Results that were produced and not yet released, by target.

    The sizes are approximate, and results produced for other entries are not known
    here, so a target may still reply that it has no memory.
    """

    def __init__(self) -> None:
        self.results_by_handle: dict[str, _StoredResult] = {}
        self.bytes_by_address: dict[Address, int] = {}

    def add(self, address: Address, handle: str, size: int, until_ms: int) -> None:
        """Record a result that ``address`` keeps until ``until_ms`` at the latest."""
        if handle in self.results_by_handle:
            return
        self.results_by_handle[handle] = _StoredResult(address, size, until_ms)
        self.bytes_by_address[address] = self.used_bytes(address) + size

    def release(self, handle: str) -> None:
        """Remove a result that its target has dropped."""
        held = self.results_by_handle.pop(handle, None)
        if held is not None:
            left = self.bytes_by_address[held.address] - held.size
            self.bytes_by_address[held.address] = left
            if not left:
                # The target may have left.
                del self.bytes_by_address[held.address]

    def used_bytes(self, address: Address) -> int:
        """Return the bytes that results occupy at ``address``."""
        return self.bytes_by_address.get(address, 0)

    def free_bytes(self, address: Address, capacity: int) -> int:
        """Return the free part of ``capacity`` bytes; a capacity of 0 is unlimited."""
        if not capacity:
            return 1 << 62
        return max(capacity - self.used_bytes(address), 0)

    def expire(self, now_ms: int) -> None:
        """Remove the results whose retention time at their targets has passed.

        Results of one service are kept equally long, so the oldest come first.
        """
        while self.results_by_handle:
            handle, held = next(iter(self.results_by_handle.items()))
            if held.until_ms > now_ms:
                return
            self.release(handle)

    def drop_target(self, address: Address) -> None:
        """Remove all results of a target that failed; a restart loses them."""
        for handle, held in list(self.results_by_handle.items()):
            if held.address == address:
                self.release(handle)
