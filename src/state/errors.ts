/** Errors of the state layer. Each affects a single replica only. */
import ModernError from 'modern-errors';

/** The base class of the state layer's errors. */
export const StateError = ModernError.subclass('StateError');

/** A file in the data folder fails its integrity check or is incomplete. */
export const CorruptLogError = StateError.subclass('CorruptLogError');

/** A write or sync failed; all later writes are rejected until a restart. */
export const StorageFailedError = StateError.subclass('StorageFailedError');

/** The disk is full. Nothing was written; a retry may succeed. */
export const DiskFullError = StateError.subclass('DiskFullError');

/** Another process holds the lock of the data folder. */
export const FolderLockedError = StateError.subclass('FolderLockedError');
