"""HTTP/1.1 on sockets: connections of clients and to servers."""
