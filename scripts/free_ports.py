"""Prints ports of 127.0.0.1 that were free when chosen, one per line.

All are bound until the last one is chosen, so that they are distinct:

    python free_ports.py 6
"""

import socket
import sys


def main() -> None:
    """Print the number of ports that the first argument states."""
    count = int(sys.argv[1])
    bound_sockets = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(('127.0.0.1', 0))
        bound_sockets.append(probe)
    for probe in bound_sockets:
        sys.stdout.write(f'{probe.getsockname()[1]}\n')
        probe.close()


if __name__ == '__main__':
    main()
