"""Start, end and resources of one process."""

__all__ = [
    "daemon_tasks",
    "descriptors",
    "disk_space",
    "fairness",
    "late_tasks",
    "loop_watch",
    "memory_budget",
    "process_exit",
    "shortages",
    "start_objects",
    "start_steps",
    "supervisor",
]
