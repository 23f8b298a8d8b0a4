"""Creates tickets with a seeded nonce, so that tests are repeatable."""

from random import Random

from bergamotshunt.decisions.tickets import ProcessName
from bergamotshunt.messages import Ticket

NONCE_BITS = 128


def create_ticket(owner: ProcessName, era: int, rng: Random) -> Ticket:
    """Create a ticket with a nonce of 128 bits."""
    nonce = f'{rng.getrandbits(NONCE_BITS):032x}'
    return Ticket(owner.daemon_id, owner.process_id, era, nonce)
