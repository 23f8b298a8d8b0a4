"""The local backend server: slots, forwarded requests and load reports."""
