"""Ingress: requests of callers at the daemon that receives them."""
