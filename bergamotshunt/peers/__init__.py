"""Members of the fleet, and the messages that daemons exchange."""
