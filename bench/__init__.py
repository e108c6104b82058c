"""Benchmarks on one machine: costs against sizes, and policy simulations."""
