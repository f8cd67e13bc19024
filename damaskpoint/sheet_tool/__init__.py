"""The commands of ``damaskpoint-sheet``, for operators."""
