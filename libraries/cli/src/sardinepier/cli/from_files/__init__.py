"""Commands that read log files of entry instances instead of asking daemons."""
