"""Commands that read log files instead of requesting data from daemons."""
