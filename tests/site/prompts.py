"""Make requests for tokens with prompts in parts, as callers of the platform send them."""

from typing import Final

PROMPT_HEADER: Final = "X-Prompt-Prefix"
PART_TOKENS: Final = 100
OUTPUT_TOKENS: Final = 20


def prompt_headers(own: str, *shared: str) -> dict[str, str]:
    """Return the headers of a request whose prompt has shared parts and, last, its own part."""
    parts = [*shared, own]
    return {
        PROMPT_HEADER: ",".join(f"{part}:{PART_TOKENS}" for part in parts),
        "X-Model": "m",
        "X-Token-Count": f"{PART_TOKENS * len(parts)},{OUTPUT_TOKENS}",
        "X-Length-Hint": str(OUTPUT_TOKENS),
    }


def shared_parts(prompt: str) -> list[str]:
    """Return the parts of a prompt header except the last, which is the request's own."""
    return [entry.partition(":")[0] for entry in prompt.split(",")[:-1]]
