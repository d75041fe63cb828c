"""Cap'n Proto schemas of the messages between processes of the system."""
