"""The configuration: its model, the sheet it comes from, its versions."""
