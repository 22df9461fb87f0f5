//! Chooses the worker that takes a task, within quotas.
