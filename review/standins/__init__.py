"""Stand-ins of the review's scripts: platform, operator, requesters and engines."""
