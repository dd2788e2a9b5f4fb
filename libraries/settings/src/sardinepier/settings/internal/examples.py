"""A valid example of each kind of file, shown in the reference."""

from typing import Final

FLEET: Final = """\
[fleet]
name = library

[zone north]
region = coast

[zone south]
region = coast
"""

SERVICE: Final = """\
[service]
name = deposits
floor_percent = 70
false_ejections_per_target_day = 0.01

[shed-reply]
status = 503
header_name = Shed
header_value = not-run

[target worker-1]
ip = 10.1.0.11
port = 9000
zone = north
slots = 3

[target worker-2]
ip = 10.2.0.11
port = 9000
zone = south
slots = 3

[route register]
method = POST
path = /deposits
idempotent = no
priority = high
deadline_ms = 5000

[route fetch]
method = GET
path = /deposits/{handle}
idempotent = yes
deadline_ms = 2000
hedged = yes
"""

INSTANCE: Final = """\
[instance]
daemon_id = entry-07
zone = north
region = coast
address_ip = 10.1.0.7
http_port = 8080
peer_port = 7000
platform_urls = http://10.1.0.5:8500 http://10.2.0.5:8500
seeds =
    10.1.0.8:7000
    10.2.0.8:7000
"""
