"""Choice of backend servers for requests, and the attempts at them."""
