"""Fakes of the systems around the daemon: platform, servers and links."""
