"""How long and with which seed the fuzzers run.

CI runs the same examples on every run. ``make fuzz`` sets SWIFTTIDE_FUZZ_SECONDS and
runs examples of fresh seeds until that time has passed, printing each seed;
``SWIFTTIDE_FUZZ_SEED=N`` runs one seed again.
"""

import os
import random
import time

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

CI_EXAMPLES = 250
LONG_EXAMPLES = 400
STEPS = 50


def run_fuzz(machine, steps=STEPS):
    """Run a rule machine: fixed examples in CI, fresh seeds when asked to."""
    seconds = float(os.environ.get("SWIFTTIDE_FUZZ_SECONDS", "0"))
    given = os.environ.get("SWIFTTIDE_FUZZ_SEED")
    if given is not None:
        _run(machine, steps, LONG_EXAMPLES, int(given))
        return
    if not seconds:
        _run(machine, steps, CI_EXAMPLES, None)
        return
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        fresh = random.SystemRandom().randrange(2**32)
        print(f"SWIFTTIDE_FUZZ_SEED={fresh} {machine.__name__}", flush=True)
        _run(machine, steps, LONG_EXAMPLES, fresh)


def run_seed(machine, number, steps=STEPS):
    """Run a seed that once found a fault; its number is never changed."""
    _run(machine, steps, LONG_EXAMPLES, number)


def _run(machine, steps, examples, number):
    # A subclass for each seed: the seed is kept as an attribute of the class.
    seeded = type(machine.__name__, (machine,), {})
    if number is not None:
        seeded = seed(number)(seeded)
    run_state_machine_as_test(
        seeded,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=number is None,
            database=None,
            deadline=None,
            # Shrinking takes a minute; CI only has to say that there is a fault.
            phases=[Phase.generate, Phase.shrink] if number else [Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )
