"""Whether and when a failed attempt is retried, and the combined failure."""

from collections.abc import Sequence
from random import Random
from typing import Final

from bergamotshunt.choice.calls import CallHead
from bergamotshunt.verdicts import CallFailure, Verdict

MAX_ATTEMPTS: Final = 4
FIRST_BACKOFF_MS: Final = 5.0
MAX_BACKOFF_MS: Final = 250.0


def is_retry_permitted(head: CallHead, failure: CallFailure) -> bool:
    """Return whether the verdict permits another attempt.

    A call that may have run is retried only when its target is idempotent
    and it is the root of its call tree: each level that retries multiplies
    the load on the levels below.
    """
    match failure.verdict:
        case Verdict.NOT_RUN:
            return True
        case Verdict.MAY_HAVE_RUN:
            return head.target.idempotent and head.depth == 0
        case _:
            return False


def combine_verdicts(verdicts: Sequence[Verdict]) -> Verdict:
    """Return the verdict on a call of which all attempts failed.

    Raises:
        ValueError: ``verdicts`` is empty.
    """
    if not verdicts:
        raise ValueError('expected at least one verdict to combine, got none')
    if Verdict.RAN in verdicts:
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in verdicts:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN


def combine_failures(failures: Sequence[CallFailure]) -> CallFailure:
    """Build the failure for the caller from those of all attempts.

    It is the last failure with the combined verdict, so that reason and
    status agree with the verdict.
    """
    verdict = combine_verdicts([failure.verdict for failure in failures])
    last = [failure for failure in failures if failure.verdict is verdict][-1]
    if len(failures) == 1:
        return last
    return last._replace(
        detail=f'{last.detail} (attempt {len(failures)} was the last)',
        retry_after_ms=max(failure.retry_after_ms for failure in failures),
    )


def backoff_ms(failed_attempts: int, is_fresh: bool, rng: Random) -> float:
    """Return the pause before the next attempt, with full jitter.

    Args:
        failed_attempts: Number of failed attempts so far, at least 1.
        is_fresh: Whether this call has not tried the next server yet; the
            first switch to such a server needs no pause.
        rng: Random source.
    """
    if is_fresh and failed_attempts == 1:
        return 0
    longest_ms = FIRST_BACKOFF_MS * 2.0 ** (failed_attempts - 1)
    return rng.uniform(0, min(longest_ms, MAX_BACKOFF_MS))
