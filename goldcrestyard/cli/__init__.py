"""``goldcrest``, the operators' command-line tool."""
