"""Descriptions of all settings, for the settings page."""

from typing import Final

DESCRIPTION_BY_SETTING: Final = {
    'daemon.id': 'Name of the daemon; must be unique in the fleet.',
    'daemon.ip': 'IP address on which all ports listen.',
    'daemon.region': 'Region of the host.',
    'daemon.availability_zone': 'Availability zone of the host.',
    'daemon.callers_port': 'TCP port for callers; 0 selects a free one.',
    'daemon.peers_port': 'TCP port for other daemons and the client library.',
    'daemon.admin_port': 'TCP port for operators and metrics.',
    'daemon.gossip_port': 'UDP port for membership and load queries.',
    'daemon.known_peers': 'Peers ports for joining without the platform.',
    'daemon.drain_timeout_s': (
        'Longest wait for requests in flight at shutdown.'
    ),
    'daemon.log_level': 'Lowest level of log lines.',
    'backend_server.service': 'Service of the server beside the daemon.',
    'backend_server.url': 'Address of that backend server.',
    'backend_server.slots': (
        'Initial concurrency limit, which calls.limiter adjusts.'
    ),
    'backend_server.connections': (
        'Maximum number of connections to that server.'
    ),
    'backend_server.health_path': 'Path of its health endpoint.',
    'backend_server.load_path': 'Path of its load endpoint.',
    'backend_server.drain_path': 'Path to POST to once the daemon is drained.',
    'platform.urls': 'URLs of the key-value service.',
    'platform.prefix': 'Prefix of all keys of this fleet.',
    'platform.timeout_ms': 'Longest wait for one call to the platform.',
    'platform.calls_per_s': 'Highest rate of calls to the platform.',
    'calls.max_in_flight': (
        'Maximum number of requests in flight at one daemon, for callers and '
        'for the backend server each.'
    ),
    'calls.body_buffer_bytes': 'Bodies up to this size are kept for retries.',
    'calls.max_body_bytes': 'Largest request body.',
    'calls.max_head_bytes': 'Largest size of the request headers.',
    'calls.default_deadline_ms': 'Deadline of a call that states none.',
    'calls.max_deadline_ms': 'Longest deadline that a caller may ask for.',
    'calls.chooser': 'Algorithm that selects a backend server.',
    'calls.limiter': 'Algorithm that adjusts the concurrency limit.',
    'calls.retry_share': (
        'Retries and hedged requests allowed per first attempt.'
    ),
    'calls.hedge_share': 'Hedged requests allowed per first attempt.',
    'calls.max_ejected_share': 'Largest ejected share of the servers.',
    'bookings.era_s': 'Length of a booking era, a time bucket of booking keys.',
    'bookings.eras_kept': 'Past eras whose booking keys are kept.',
    'bookings.answer_bytes': 'Largest response kept for a repeated booking.',
    'bookings.answers_bytes': 'Largest total size of the kept responses.',
    'membership.probe_interval_ms': 'Time between two probes of peers.',
    'membership.probe_timeout_ms': 'Longest wait for a direct probe reply.',
    'membership.suspicion_factor': 'Multiplier of the suspicion timeout.',
    'membership.sync_interval_s': 'Time between two full state syncs.',
    'membership.peer_probe_per_s': 'Highest rate of load queries to peers.',
    'targets.confirm_within_s': (
        'Longest time that a daemon serves with neither the platform nor a '
        'peer in reach.'
    ),
    'targets.refuse_unconfirmed': (
        'Refuse requests also while neither this daemon nor its peers can '
        'reach the platform.'
    ),
    'targets.readers_per_zone': 'Daemons per zone that watch the platform.',
    'targets.push_fanout': 'Peers that a new change is pushed to.',
    'targets.audit_records': 'Records kept in the audit trail.',
    'measuring.probe_cost_ms': 'Slot-milliseconds that one probe costs.',
    'measuring.health_interval_ms': (
        'Interval between probes of a serving backend server, and timeout of '
        'each probe.'
    ),
}
