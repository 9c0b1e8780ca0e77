"""Ports of processes that run at the same time on one machine."""

import random

from pistachioreach.ports import BLOCK_PORTS, PortAllocator


def test_processes_get_different_ports_even_before_they_bind_them():
    # Both processes make the same random choices.
    processes = [PortAllocator(random.Random(1)) for _ in range(2)]
    ports = [process.take(BLOCK_PORTS + 20) for process in processes]
    try:
        assert not set(ports[0]) & set(ports[1])
    finally:
        for process in processes:
            for reservation in process.reservations:
                reservation.close()


def test_a_port_is_handed_out_once():
    process = PortAllocator(random.Random(2))
    ports = process.take(30) + process.take(30)
    process.reservations.pop().close()
    assert len(set(ports)) == 60
