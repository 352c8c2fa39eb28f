"""Cost of a call, in units of one generated token.

Some customers send long prompts with short answers, others the reverse. An engine
computes a prompt in parallel and an answer token by token. If both kinds of tokens
counted alike, customers with long prompts would be charged many times too much.

A batched engine takes 10 to 20 times longer for an output token than for a prompt
token; in the benchmark's engine the ratio is 19.
"""

PROMPT_TOKEN_COST = 1 / 16
"""Cost of a prompt token that is not in the engine's cache, in generated tokens."""


def call_cost(uncached_tokens: float, output_tokens: float) -> float:
    """Return the cost of a call, the unit of token counts in `Ticket` and `Outcome`.

    Parameters
    ----------
    uncached_tokens : float
        Number of prompt tokens that the engine has to compute.
    output_tokens : float
        Number of tokens that it generates.
    """
    return uncached_tokens * PROMPT_TOKEN_COST + output_tokens
