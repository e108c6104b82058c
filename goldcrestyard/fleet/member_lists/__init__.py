"""The control members, as entries learn of them."""
