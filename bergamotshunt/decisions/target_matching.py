"""Match of a request to one of the operators' targets."""

from bergamotshunt.operators.targets import ServiceTargets, Target


def match_target(
    service: ServiceTargets,
    method: str,
    path: str,
) -> Target | None:
    """Find the target of a request.

    Args:
        service: Targets of the called service.
        method: HTTP method, upper case.
        path: Path below the service, with or without a query string.

    Returns:
        The matching target with the longest path prefix, or None.
    """
    matching = [
        target
        for target in service.targets
        if method in target.methods and path.startswith(target.path_prefix)
    ]
    return max(
        matching,
        key=lambda target: len(target.path_prefix),
        default=None,
    )
