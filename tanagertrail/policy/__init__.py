"""Pure decisions, which neither wait nor do input or output."""
