"""Change profiles as an operator does, through the operator address of one instance."""

from typing import NamedTuple

from result import Err, Ok, Result

from papayapier import codec
from papayapier.config.profiles import Profile
from papayapier.load.http_calls import http_call_json


class Operator(NamedTuple):
    """Hold an operator address ("HOST:PORT") and key; run_id makes change ids unique."""

    address: str
    key: str
    run_id: str


async def put_profile(operator: Operator, profile: Profile, step: str) -> Result[int, str]:
    """Write a profile to the configuration and return its version."""
    url = f"http://{operator.address}/v1/profiles/{profile.name}"
    headers = {"Authorization": f"Bearer {operator.key}"} if operator.key else {}
    based_on = await _version(url, headers)
    if isinstance(based_on, Err):
        return based_on
    change = {
        "profile": codec.to_document(profile),
        "based_on": based_on.ok_value,
        "reason": f"load experiment, {step}",
        "change_id": f"{operator.run_id}:{profile.name}:{based_on.ok_value}",
    }
    response = await http_call_json("PUT", url, change, headers)
    return response.map(lambda answer: int(answer["version"]))


async def _version(url: str, headers: dict[str, str]) -> Result[int, str]:
    """Return the current version, or 0 when the profile does not exist yet."""
    response = await http_call_json("GET", url, headers=headers)
    if isinstance(response, Err):
        return Ok(0) if ": status 404" in response.err_value else response
    return Ok(int(response.ok_value["version"]))
