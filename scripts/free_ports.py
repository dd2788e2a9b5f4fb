"""Prints ports of 127.0.0.1 that were free a moment ago, one a line.

All are held at once while they are chosen, so that no two are the same:

    python free_ports.py 6
"""

import socket
import sys


def main() -> None:
    """Print as many ports as the first argument says."""
    count = int(sys.argv[1])
    held = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(('127.0.0.1', 0))
        held.append(probe)
    for probe in held:
        sys.stdout.write(f'{probe.getsockname()[1]}\n')
        probe.close()


if __name__ == '__main__':
    main()
