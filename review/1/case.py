"""Servers reject a request, send the same rejection once more, late, and run the request when it is sent again."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import harness

HOST = "till.example"
WORK_S = 0.15
# Requests without a rejection before the others. After about a dozen, the daemons take the route for one that only
# servers call, since all its requests come from the machine of one service.
FIRST = 30
REJECTED = 20


async def play(deployment, record, has_trouble):
    runs, rejections = {}, {}
    rejecting = set()

    async def run(endpoint, connection, request):
        request_id = request.headers["bramblewheel-request-id"]
        rejected_by = rejections.setdefault(request_id, [])
        rejection = harness.answer_bytes(503, {"Bramblewheel-Request-Id": request_id,
                                               "Bramblewheel-Not-Executed": "1"})
        if request_id in rejecting and len(rejected_by) < 2:
            # Full: each of the two servers rejects it once.
            rejected_by.append(endpoint.id)
            connection["surplus"] = rejection
            record.write(f"server {endpoint.id} rejects {request_id}: 503, not executed")
            return rejection
        record.write(f"server {endpoint.id} runs {request_id}")
        runs.setdefault(request_id, []).append(endpoint.id)
        surplus = connection.pop("surplus", None)
        if has_trouble and surplus is not None:
            # A second answer to the request before, late, in the place of the one due next.
            connection["writer"].write(surplus)
            record.write(f"server {endpoint.id} sends its last rejection once more on this connection")
        await asyncio.sleep(WORK_S)
        return endpoint.success(request_id, b"paid")

    front, *tills = deployment.sides
    for machine in tills:
        await harness.Endpoint(deployment, machine, "kassa", run).start()
    await harness.Endpoint(deployment, front, "prisskilt", run).start()
    await deployment.configure([
        harness.route_resource("r-pay", HOST, "/pay/", "unsafe", "kassa"),
        harness.service_resource("kassa"), harness.service_resource("prisskilt"), harness.limits_resource(),
    ])
    await deployment.until_ready()
    await asyncio.sleep(3)

    answers = {}
    for number in range(FIRST + REJECTED):
        request_id = f"{number:016x}"
        if number >= FIRST:
            rejecting.add(request_id)
        data = harness.request_bytes("POST", f"/pay/{number}", HOST, request_id, 5000, b"amount=12")
        record.write(f"client sends {request_id}")
        try:
            answer = await harness.call(front.address("outbound"), data, 6)
            answers[request_id] = answer.status if answer is not None else "closed"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answers[request_id] = repr(error)
        record.write(f"client gets {answers[request_id]} for {request_id}")
        await asyncio.sleep(0.05)

    if not any(status == 200 for status in answers.values()):
        raise harness.CannotRun("no request was served")
    breaks = []
    for request_id, where in runs.items():
        if len(where) > 1:
            breaks.append(f"TWICE: {request_id} ran {len(where)} times: {', '.join(where)}")
        if answers.get(request_id) in (408, 421, 429, 503):
            breaks.append(f"REFUSED: {request_id} was answered {answers[request_id]} and has run")
    return breaks


harness.main(Path(__file__).resolve().parent, ["prisskilt", "kassa", "kassa"], play)
