"""However many connections are busy, others wait for one of them only."""

from __future__ import annotations

import asyncio

from persimmonlink_router.client_pressure.turn_gate import TurnGate

BUSY = 500


def test_one_busy_connection_goes_on_in_each_turn_of_the_loop():
    # Guards against hundreds of connections that all parse before anybody else's turn.
    async def scenario():
        gate, steps = TurnGate(), []

        async def parse(number):
            for _ in range(3):
                await gate.wait()
                steps.append(number)

        tasks = [asyncio.create_task(parse(number)) for number in range(BUSY)]
        await asyncio.sleep(0)
        for _ in range(50):
            before = len(steps)
            await asyncio.sleep(0)
            assert len(steps) - before <= 1
        await asyncio.gather(*tasks)
        # In turns, and each as often as the others.
        assert steps == list(range(BUSY)) * 3

    asyncio.run(scenario())


def test_a_connection_that_ends_while_it_waits_holds_up_nobody():
    async def scenario():
        gate = TurnGate()
        first, second = (asyncio.create_task(gate.wait()) for _ in range(2))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.wait_for(second, 1.0)
        await asyncio.wait_for(gate.wait(), 1.0)

    asyncio.run(scenario())
