"""Measurements of costs against sizes, on one machine."""
