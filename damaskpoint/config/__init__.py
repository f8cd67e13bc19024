"""The configuration: its model, how it is read from a sheet, its versions."""
