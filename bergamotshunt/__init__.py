"""Load balancer that distributes requests to meet operators' targets."""
