"""HTTP interface that forwards requests to the targets of plain services."""
