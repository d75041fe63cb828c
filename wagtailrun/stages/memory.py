"""Accounting of the memory that results occupy at the targets of a stage service."""

import attrs

from wagtailrun.ports.link import Address

__all__ = ["ResultMemory"]

# Weight of the earlier results in the mean time for which results are held, each time
# that one is released.
EARLIER_WEIGHT = 0.95


@attrs.frozen
class _StoredResult:
    address: Address
    size: int
    until_ms: int


@attrs.frozen
class _UnknownUse:
    """Memory of a target that results occupy which are not known here."""

    size: int
    until_ms: int


class ResultMemory:
    """Results that were produced and not yet released, by target.

    The sizes are approximate, and results produced for other entries are not known
    here, so a target may still reply that it has no memory. Pieces in calls count like
    results, as targets reserve their memory when a call begins.
    """

    def __init__(self) -> None:
        self.results_by_handle: dict[str, _StoredResult] = {}
        self.bytes_by_address: dict[Address, int] = {}
        self.running_bytes_by_address: dict[Address, int] = {}
        self.unknown_by_address: dict[Address, _UnknownUse] = {}
        # Bytes of the results that were released, and the time by which that was
        # earlier than necessary, earlier results with less weight.
        self.released_bytes = 0.0
        self.saved_byte_ms = 0.0

    def add(self, address: Address, handle: str, size: int, until_ms: int) -> None:
        """Record a result that ``address`` keeps until ``until_ms`` at the latest."""
        if handle in self.results_by_handle:
            return
        self.results_by_handle[handle] = _StoredResult(address, size, until_ms)
        self.bytes_by_address[address] = self.used_bytes(address) + size

    def hold_ms(self, result_ms: int) -> float:
        """Return for how long results occupied memory of late, large ones above all.

        Args:
            result_ms: How long targets keep a result that nobody releases.

        Returns:
            Milliseconds; 0 if no result was released yet.
        """
        if not self.released_bytes:
            return 0.0
        return max(result_ms - self.saved_byte_ms / self.released_bytes, 0.0)

    def record_release(self, handle: str, now_ms: int) -> None:
        """Remove a result that its target has dropped, and record when that was."""
        held = self.results_by_handle.get(handle)
        if held is not None:
            saved_ms = max(held.until_ms - now_ms, 0)
            self.released_bytes *= EARLIER_WEIGHT
            self.saved_byte_ms *= EARLIER_WEIGHT
            self.released_bytes += held.size
            self.saved_byte_ms += held.size * saved_ms
            self.release(handle)

    def release(self, handle: str) -> None:
        """Remove a result that its target has dropped, or that another entry counts."""
        held = self.results_by_handle.pop(handle, None)
        if held is not None:
            left = self.bytes_by_address[held.address] - held.size
            self.bytes_by_address[held.address] = left
            if not left:
                # The target may have left.
                del self.bytes_by_address[held.address]

    def record_start(self, address: Address, size: int) -> None:
        """Record the start of a call whose results take ``size`` bytes."""
        running = self.running_bytes_by_address.get(address, 0)
        self.running_bytes_by_address[address] = running + size

    def record_end(self, address: Address, size: int) -> None:
        """Record the end of such a call."""
        self.running_bytes_by_address[address] -= size
        if not self.running_bytes_by_address[address]:
            del self.running_bytes_by_address[address]

    def record_refusal(
        self, address: Address, size: int, capacity: int, until_ms: int
    ) -> None:
        """Record that a target had no room for a result of ``size`` bytes.

        Args:
            address: Target.
            size: Size of the result.
            capacity: Memory of the target that may be used, above 0.
            until_ms: When to assume that the unknown results are gone.
        """
        excess = self.free_bytes(address, capacity) - size
        known = self.unknown_by_address.get(address)
        # One byte at least, so that a result that fits into no memory is not sent again
        # at once to a target that seems empty.
        size = max(excess + 1, 0) + (known.size if known is not None else 1)
        self.unknown_by_address[address] = _UnknownUse(size, until_ms)

    def record_unknown(self, address: Address, size: int, until_ms: int) -> None:
        """Record bytes that calls of another owner occupy until ``until_ms``."""
        if size:
            known = self.unknown_by_address.get(address)
            if known is None or known.size < size:
                self.unknown_by_address[address] = _UnknownUse(size, until_ms)

    def sort(self) -> None:
        """Order the results by the time at which their targets drop them."""
        by_time = sorted(
            self.results_by_handle.items(), key=lambda item: item[1].until_ms
        )
        self.results_by_handle = dict(by_time)

    def used_bytes(self, address: Address) -> int:
        """Return the bytes that results occupy at ``address``."""
        return self.bytes_by_address.get(address, 0)

    def known_bytes(self, address: Address) -> int:
        """Return the bytes at ``address`` of results known here, and of calls."""
        return self.used_bytes(address) + self.running_bytes_by_address.get(address, 0)

    def occupied_bytes(self, address: Address) -> int:
        """Return the bytes at ``address`` that cannot be used for further pieces."""
        unknown = self.unknown_by_address.get(address)
        return self.known_bytes(address) + (unknown.size if unknown is not None else 0)

    def free_bytes(self, address: Address, capacity: int) -> int:
        """Return the free part of ``capacity`` bytes; a capacity of 0 is unlimited."""
        if not capacity:
            return 1 << 62
        return max(capacity - self.occupied_bytes(address), 0)

    def expire(self, now_ms: int) -> None:
        """Remove the results whose retention time at their targets has passed.

        Results of one service are kept equally long, so the oldest come first.
        """
        for address, unknown in list(self.unknown_by_address.items()):
            if unknown.until_ms <= now_ms:
                del self.unknown_by_address[address]
        while self.results_by_handle:
            handle, held = next(iter(self.results_by_handle.items()))
            if held.until_ms > now_ms:
                return
            self.record_release(handle, now_ms)

    def drop_target(self, address: Address) -> None:
        """Remove all results of a target that failed; a restart loses them."""
        self.unknown_by_address.pop(address, None)
        for handle, held in list(self.results_by_handle.items()):
            if held.address == address:
                self.release(handle)
