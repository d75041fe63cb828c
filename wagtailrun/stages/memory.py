"""Memory that results take up at the targets of a stage service."""

import attrs

from wagtailrun.ports.link import Address

__all__ = ["ResultMemory"]


@attrs.frozen
class _Held:
    address: Address
    size: int
    until_ms: int


class ResultMemory:
    """Results that were made and not given up, by target.

    The sizes are approximate, and results made for other entries are not known here,
    so a target may still answer that it has no memory.
    """

    def __init__(self) -> None:
        self.held_by_handle: dict[str, _Held] = {}
        self.bytes_by_address: dict[Address, int] = {}

    def hold(self, address: Address, handle: str, size: int, until_ms: int) -> None:
        """Note a result that ``address`` keeps until ``until_ms`` at the latest."""
        if handle in self.held_by_handle:
            return
        self.held_by_handle[handle] = _Held(address, size, until_ms)
        self.bytes_by_address[address] = self.held(address) + size

    def release(self, handle: str) -> None:
        """Forget a result that its target has dropped."""
        held = self.held_by_handle.pop(handle, None)
        if held is not None:
            self.bytes_by_address[held.address] -= held.size

    def held(self, address: Address) -> int:
        """Return the bytes that results take up at ``address``."""
        return self.bytes_by_address.get(address, 0)

    def free_bytes(self, address: Address, capacity: int) -> int:
        """Return what is left of ``capacity`` bytes; 0 capacity is no limit."""
        if not capacity:
            return 1 << 62
        return max(capacity - self.held(address), 0)

    def expire(self, now_ms: int) -> None:
        """Forget the results that their targets have dropped by themselves."""
        for handle, held in list(self.held_by_handle.items()):
            if held.until_ms <= now_ms:
                self.release(handle)

    def forget(self, address: Address) -> None:
        """Forget all results of a target that failed: they do not outlive it."""
        for handle, held in list(self.held_by_handle.items()):
            if held.address == address:
                self.release(handle)
