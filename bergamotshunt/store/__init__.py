"""Data that daemons keep in the platform's key-value store."""
