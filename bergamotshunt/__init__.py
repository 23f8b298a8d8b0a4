"""Load balancer that meets operators' targets over live backend servers."""
