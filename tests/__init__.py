"""Tests of tanagertrail."""
