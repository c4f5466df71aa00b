"""Run failure scenarios written as text cases; docs/SCENARIOS.md describes the language."""
