"""Pure decisions about requests: no module here does input or output."""
