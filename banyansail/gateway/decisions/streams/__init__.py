"""Live migration of streams between engines, and their pace."""
