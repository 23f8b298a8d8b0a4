"""HTTP/1.1: servers, clients and their connections."""
