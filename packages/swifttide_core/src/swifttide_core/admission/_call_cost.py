"""Cost of a call in units of one generated token.

Load pattern: one customer sends long prompts with short answers, another the reverse.
An engine computes a prompt in parallel and an answer token by token, so counting
both alike bills the first customer many times over.

Grounds: a batched engine takes 10 to 20 times longer for a token of output than
for one of the prompt; the ratio in the bench's engine is 19.
"""

PROMPT_TOKEN_COST = 1 / 16
"""Cost of an uncached prompt token."""


def call_cost(uncached_tokens: float, output_tokens: float) -> float:
    """Return the cost that ``Ticket`` and ``Outcome`` count in.

    Parameters
    ----------
    uncached_tokens : float
        Prompt tokens that the engine computes.
    output_tokens : float
        Tokens that it generates.
    """
    return uncached_tokens * PROMPT_TOKEN_COST + output_tokens
