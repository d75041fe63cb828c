"""Numbered log events; ``docs/events.md`` is the catalogue."""

from typing import Any

from absl import logging

from wagtailrun.logs.consensus_events import (
    BECAME_LEADER,
    CLUSTER_AWAITED,
    CLUSTER_FOUNDED,
    CLUSTER_MEMBERSHIP_CHANGED,
    DISK_FULL,
    DISK_SPACE_AVAILABLE,
    ELECTION_LOST,
    FOUNDING_ORDERED,
    FOUNDING_REFUSED,
    MEMBER_FAULT,
    MEMBER_RECOVERED,
    STEPPED_DOWN,
)
from wagtailrun.logs.event_log import (
    EVENT_LOG,
    EVENTS_BY_NUMBER,
    Event,
    EventLog,
    catalogue_rows,
)
from wagtailrun.logs.event_log import define_event as _event

__all__ = [
    "EVENTS_BY_NUMBER",
    "EVENT_LOG",
    "BECAME_LEADER",
    "CLUSTER_AWAITED",
    "CLUSTER_FOUNDED",
    "CLUSTER_MEMBERSHIP_CHANGED",
    "DISK_FULL",
    "DISK_SPACE_AVAILABLE",
    "ELECTION_LOST",
    "FOUNDING_ORDERED",
    "FOUNDING_REFUSED",
    "MEMBER_FAULT",
    "MEMBER_RECOVERED",
    "STEPPED_DOWN",
    "Event",
    "EventLog",
    "catalogue_rows",
    "log",
]

PROCESS_STARTED = _event(100, logging.INFO, "A process started.")
PROCESS_STOPPED = _event(101, logging.INFO, "A process stopped.")
DRAIN_STARTED = _event(102, logging.INFO, "A planned stop began.")
REQUESTS_CUT = _event(
    103,
    logging.WARNING,
    "A planned stop ends requests, or connections that may have one on its way.",
    "If unanswered is not 0, compare late_ms of event 102 with the grace period.",
    limited=False,
)
ANSWER_CUT = _event(
    105,
    logging.WARNING,
    "A planned stop ended an answer of which the caller has a part.",
    "If left_ms was less than the answer was expected to take, report the line.",
    limited=False,
)
LOOP_LATE = _event(
    104,
    logging.WARNING,
    "The event loop of this process was late, so that others seemed late to it.",
    "If used_ms is about late_ms, report the line; else give the VM processor time.",
)
IDLE_CLOSED = _event(
    106,
    logging.INFO,
    "A planned stop has closed connections that waited for another request.",
    limited=False,
)
CLOSE_CROSSED = _event(
    107,
    logging.INFO,
    "Bytes arrived on an idle connection just after a planned stop had closed it.",
    "Nothing: the client was told that its request was not received.",
    per_second=10,
)
PEER_REJECTED = _event(
    200,
    logging.WARNING,
    "A peer connection was rejected.",
    "Check that all processes have the same WAGTAILRUN_PEER_SECRET.",
)
HANDLER_FAILED = _event(
    201,
    logging.ERROR,
    "A request handler raised an error.",
    "Report the line: it shows a bug in the software.",
)
REQUEST_REFUSED = _event(
    210,
    logging.INFO,
    "A request was refused.",
    "Nothing. If it repeats, check the reason and the output of wagtailrun refusals.",
)
REFUSAL_NOT_COPIED = _event(
    300,
    logging.WARNING,
    "The first refusal of a minute was answered without a copy at another entry.",
    "Check that other entries are running: a crash of this one may lose the minute.",
)
ACCOUNTS_NOT_HANDED_OVER = _event(
    301,
    logging.WARNING,
    "No control member accepted the account rows.",
    "Check the control members. Until then, the rows stay here and at another entry.",
)
ACCOUNTS_LEFT_AT_STOP = _event(
    302,
    logging.ERROR,
    "A planned stop ended with account rows that no other process has.",
    "Note the interval: its counts and costs are too low.",
)
TRACE_NOT_WRITTEN = _event(
    303,
    logging.WARNING,
    "The trace file cannot be written; the requests are served all the same.",
    "Free space on its disk, or see the detail. Up to 10,000 records are kept for it.",
    limited=False,
)
TRACE_WRITTEN_AGAIN = _event(
    304, logging.INFO, "The trace file is written again.", limited=False
)
TRACE_LINES_SKIPPED = _event(
    305,
    logging.WARNING,
    "A trace has lines that a process left unfinished; they are not replayed.",
)
ACCOUNTS_FULL = _event(
    310,
    logging.ERROR,
    "A control member reached its limit of account rows and accepts no more.",
    "Close the open periods. Until then, entries keep their rows.",
)
ACCOUNTS_TOO_LATE = _event(
    311,
    logging.ERROR,
    "An account row arrived more than seven days late and was not counted.",
    "Find out why the entry was cut off for so long; its counts are too low.",
)
ACCOUNTS_DISK_FAILED = _event(
    312,
    logging.ERROR,
    "A control member could not write account rows, though its disk is not full.",
    "Replace the disk and restart the member; until then it may refuse rows, which "
    "entries hand to the other members.",
)
PERIOD_NOT_COPIED = _event(
    313,
    logging.WARNING,
    "A period cannot be closed yet: no other control member keeps its lines.",
    "Start the other control members, or finish their upgrade.",
)
OPERATOR_REJECTED = _event(
    400,
    logging.WARNING,
    "An operator request had a wrong credential.",
    "If it repeats, find the sender and change the credential.",
)


# An entry in the users' installations receives about 10 requests a second; the limit
# bounds the log volume during an overload.
REQUEST_LINES_PER_SECOND = 50
FLEET_CONFIG_APPLIED = _event(
    600,
    logging.INFO,
    "A newer fleet configuration is active in this process.",
    limited=False,
)
FLEET_CONFIG_UNREADABLE = _event(
    601,
    logging.ERROR,
    "This process cannot read an accepted fleet configuration; it refuses requests "
    "once that should be in force.",
    "See the detail, and compare the software versions of the processes. Until it runs "
    "one that reads it, send a higher version that it can read.",
    limited=False,
)
FLEET_CONFIG_DECIDED = _event(
    602, logging.INFO, "A change of the fleet configuration was decided.", per_second=50
)
CONFIG_NOT_CONFIRMED = _event(
    603,
    logging.WARNING,
    "The leader did not confirm the active fleet configuration.",
    "If it persists, check the control members: keys expire at the entries.",
)
FLEET_CONFIG_INCOMPLETE = _event(
    604,
    logging.WARNING,
    "A part of a newer fleet configuration did not arrive; it is requested again.",
    "If it persists, check the network path to the control members.",
    per_second=10,
)
TARGET_STATE_CHANGED = _event(
    610, logging.INFO, "The known state of a target changed.", limited=False
)
TARGET_REPORT_REFUSED = _event(
    612,
    logging.WARNING,
    "A report of a target was refused because it is malformed.",
    "Correct the sender: the target gets no work until its reports are sound.",
)
ENTRY_LIVENESS_CHANGED = _event(
    611, logging.INFO, "An entry became live or is no longer live.", limited=False
)
PEER_LOST = _event(
    620,
    logging.WARNING,
    "Another process of the system does not answer.",
    "If it persists, check that process and the network path to it.",
    per_second=10,
)
PEER_RECOVERED = _event(
    621, logging.INFO, "Another process of the system answers again.", per_second=10
)
PROMPT_CRASH_LEARNED = _event(
    630,
    logging.WARNING,
    "This process knows of a crash of a target that requests explain.",
    "If requests are held back, find who sends them and what crashes the target.",
    per_second=20,
)
ENGINE_CRASH_DETECTED = _event(
    631,
    logging.WARNING,
    "The attempts at an engine show that it crashed.",
    per_second=20,
)
PROMPT_SUSPECTED = _event(
    632,
    logging.WARNING,
    "A target crashed as it ran requests; they, or parts of prompts, are suspected.",
    "If it repeats, find who sends these requests.",
    per_second=20,
)
PROMPT_PART_CLEARED = _event(
    633,
    logging.INFO,
    "A target answered a suspected request, or a prompt with a suspected part.",
    per_second=20,
)
MEMORY_REFUSED = _event(
    634,
    logging.WARNING,
    "Bytes were refused: the process holds as many for requests as its memory allows.",
    "Find the kind that holds most: engines or callers that send without end, or load.",
)
DESCRIPTORS_SHORT = _event(
    635,
    logging.WARNING,
    "This entry nears its limit of descriptors and refuses new requests for now.",
    "If it repeats, raise the limit of open files, or find who opens connections.",
)
CONNECT_SHORT = _event(
    636,
    logging.WARNING,
    "This process, or its VM, lacks what a new connection needs; no peer is at fault.",
    "Raise the limit that the detail names: open files, ports or memory.",
)
LIBRARY_REPORT = _event(
    637,
    logging.WARNING,
    "A library or Python itself reports an error or a warning.",
    "Report the line: it shows a bug in the software or in a library.",
    per_second=20,
)
SETTINGS_RELOADED = _event(
    622, logging.INFO, "The settings were reloaded.", limited=False
)
TARGET_NOTICE = _event(
    714,
    logging.INFO,
    "A target told in an answer that it leaves, or asked for a pause.",
    per_second=20,
)
TARGET_LIMIT_CHANGED = _event(
    715,
    logging.WARNING,
    "A target limits the requests that it takes, or no longer does.",
    "Find out why the target is in need.",
    per_second=20,
)
TARGET_LIMIT_MALFORMED = _event(
    716,
    logging.WARNING,
    "An answer names a bound of the target that cannot be read; it changes nothing.",
    "Correct the target.",
    per_second=1,
)
TARGET_COLD_CHANGED = _event(
    728,
    logging.INFO,
    "A target is cold, and gets few requests for a while, or is warm again.",
    per_second=20,
)
TARGET_COLD_MALFORMED = _event(
    729,
    logging.WARNING,
    "A target names a time for which it stays cold that cannot be read; it changes "
    "nothing.",
    "Correct the target.",
    per_second=1,
)
SEND_DENIED = _event(
    717,
    logging.INFO,
    "A request was not sent to a target because of the target's limit.",
    per_second=REQUEST_LINES_PER_SECOND,
)
TARGET_BRITTLENESS_CHANGED = _event(
    724,
    logging.WARNING,
    "A target says that rejections may end it, or no longer does.",
    "Find out why the target is in need.",
    per_second=20,
)
SLOT_DENIED = _event(
    725,
    logging.INFO,
    "A request was not sent to a brittle target, which may have no room for it.",
    per_second=REQUEST_LINES_PER_SECOND,
)
BRITTLE_TARGET_REJECTED = _event(
    726,
    logging.WARNING,
    "A brittle target turned a request away; it gets none for a second, then fewer.",
    per_second=20,
)
SHARE_LOWERED = _event(
    720,
    logging.WARNING,
    "A target that leaves requests without a first event, or is slow, gets fewer.",
    "Find out why the target is silent or slow.",
    per_second=20,
)
SHARE_RAISED = _event(
    721,
    logging.INFO,
    "A target with fewer requests answers in time, and gets more again.",
    per_second=20,
)
STREAM_TAKEN_UP = _event(
    718,
    logging.INFO,
    "A caller takes up a stream that an earlier request began.",
    per_second=REQUEST_LINES_PER_SECOND,
)
STREAM_RECORDS_DROPPED = _event(
    719,
    logging.WARNING,
    "Records of where streams began were dropped: no control member takes them.",
    "Restore the connection to the control members.",
    per_second=1,
)
PATH_LOST = _event(
    740,
    logging.WARNING,
    "This entry cannot connect to a target that another entry reaches; requests to it "
    "go through other entries.",
    "Check the network between the entry and the target.",
    per_second=20,
)
PATH_RETURNED = _event(
    741, logging.INFO, "This entry connects to a target directly again.", per_second=20
)
ENTRY_CUT_OFF = _event(
    742,
    logging.ERROR,
    "This entry reaches no target directly, or does so again; meanwhile all its "
    "requests go through other entries.",
    "Check the network of the entry.",
    limited=False,
)
CARRIER_FAILED = _event(
    743,
    logging.INFO,
    "Another entry opened no connection to a target for this one.",
    per_second=20,
)
TUNNEL_ENDED = _event(
    744,
    logging.INFO,
    "A connection to a target that this entry carried for another one ended, or could "
    "not be opened.",
    per_second=REQUEST_LINES_PER_SECOND,
)
PATHS_UNDECIDED = _event(
    745,
    logging.INFO,
    "This entry could not find out whether it reaches any target: it was late, or "
    "short of descriptors.",
    per_second=1,
)
EVACUATIONS_APPLIED = _event(
    750,
    logging.WARNING,
    "The evacuated data centres changed in this process; none of their targets gets "
    "work from here.",
    limited=False,
)
EVACUATION_DECIDED = _event(
    751,
    logging.WARNING,
    "An operator ordered or withdrew the evacuation of a data centre; accepted tells "
    "the result.",
    "If accepted is false, see detail.",
    per_second=50,
)
DATA_CENTRE_AWAY = _event(
    746,
    logging.ERROR,
    "Neither this entry nor others that it asked can open connections to a data "
    "centre, or this entry can again; meanwhile it uses no target there.",
    "Check the network between the data centres.",
    limited=False,
)
ANSWER_BODY_SKIPPED = _event(
    713,
    logging.WARNING,
    "The body of an unsuccessful answer was not read to its end.",
    per_second=10,
)
TASK_RESTARTED = _event(
    627,
    logging.ERROR,
    "A task of the process ended with an unexpected error and is started again.",
    "Report the error; the process goes on.",
    limited=False,
)
ROW_NOT_SENT = _event(
    628,
    logging.WARNING,
    "A row does not fit the messages between processes and is left out of them.",
    "Correct the sender of the report that the row is from.",
    per_second=10,
)
ACCEPT_FAILED = _event(
    629,
    logging.WARNING,
    "A connection could not be accepted; the process goes on.",
    "If it repeats, raise the limit of open files, or find who opens connections.",
)
HANDSHAKES_GO_ON = _event(
    638,
    logging.INFO,
    "A listener closes while clients may be connecting, as the operating system cannot "
    "refuse handshakes before; a client that connects at that moment may be reset.",
)
LISTENER_CLOSED = _event(
    639,
    logging.INFO,
    "A listener closed; further connections to its address are refused.",
    limited=False,
)
METRICS_NOT_SERVED = _event(
    626,
    logging.WARNING,
    "The metrics address cannot be listened on; the process works without it.",
    "Free the port, or set another one and restart the process.",
    limited=False,
)
START_STEP_REACHED = _event(
    640,
    logging.INFO,
    "A process reached a step of its start.",
    limited=False,
)
READINESS_CHANGED = _event(
    623, logging.INFO, "The process became ready or is no longer ready.", limited=False
)
MEMBER_RESTARTED = _event(
    624,
    logging.WARNING,
    "The replicated log restarts after a disk failure.",
    "Check the disk.",
    limited=False,
)
LOG_FILES_DISCARDED = _event(
    625,
    logging.ERROR,
    "The files of the replicated log are damaged; the member joins with an empty disk.",
    "Check the disk; the other members hold the data.",
    limited=False,
)
RELAY_REFUSED = _event(
    700,
    logging.INFO,
    "A request was not admitted.",
    per_second=REQUEST_LINES_PER_SECOND,
)
RELAY_ENDED = _event(
    701, logging.INFO, "A relayed request ended.", per_second=REQUEST_LINES_PER_SECOND
)
ATTEMPT_FAILED = _event(
    702,
    logging.INFO,
    "An attempt at a target failed.",
    per_second=REQUEST_LINES_PER_SECOND,
)
STAGE_CALL_ENDED = _event(
    710, logging.INFO, "A stage call ended.", per_second=REQUEST_LINES_PER_SECOND
)
PIECES_ABANDONED = _event(
    711,
    logging.INFO,
    "The pieces of a step were abandoned.",
    per_second=REQUEST_LINES_PER_SECOND,
)
STEP_ENDED = _event(
    727,
    logging.INFO,
    "A step was done late, waited for long, or moved, and where its time went.",
    per_second=REQUEST_LINES_PER_SECOND,
)
TARGETS_UNANNOUNCED = _event(
    320,
    logging.WARNING,
    "All targets of a service ceased to announce themselves, but answer; they stay in "
    "use.",
    "Check the network from the targets to the entries, for other ports than theirs.",
)
TARGETS_ANNOUNCED = _event(
    321,
    logging.INFO,
    "Targets of a service announce themselves again, or the last known ones are gone.",
)
PATH_HINTED = _event(
    322,
    logging.INFO,
    "Another entry does not reach a target or a data centre; this one probes it.",
)
STAGE_MEMORY_FULL = _event(
    723,
    logging.WARNING,
    "Pieces of a stage wait for memory for their results at its targets.",
    "If it repeats, give the targets memory, or find out why results are not released.",
)
SERVICE_HANDED_OVER = _event(
    722,
    logging.INFO,
    "The next owner of a stage service took over its pieces from this entry.",
)
UNUSED_RESULTS_RELEASED = _event(
    730,
    logging.INFO,
    "Results of a stage were released, as the data centre of their entry is away.",
)
PARTS_TAKEN = _event(731, logging.INFO, "Another entry told which parts engines hold.")
RESULT_RELEASE_FAILED = _event(
    712, logging.INFO, "A request to a target to free abandoned results failed."
)


def log(event: Event, **fields: Any) -> None:
    """Write an event to the log of this process; see ``EventLog.log``.

    Args:
        event: Event to write.
        **fields: Values for the JSON fields; never bodies or secrets. Pass
            ``request_id`` if the event belongs to a request.
    """
    EVENT_LOG.log(event, **fields)
