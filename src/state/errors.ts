/** Errors of the state layer. Each stops only the replica it concerns. */
import ModernError from 'modern-errors';

/** The root of the state layer's errors. */
export const StateError = ModernError.subclass('StateError');

/** A file of the data folder does not hold what was written to it. */
export const CorruptLogError = StateError.subclass('CorruptLogError');

/** A write or sync failed; nothing more is written until a restart. */
export const StorageFailedError = StateError.subclass('StorageFailedError');

/** The disk is full. Nothing was written, and a later try may succeed. */
export const DiskFullError = StateError.subclass('DiskFullError');

/** Another process uses the data folder. */
export const FolderLockedError = StateError.subclass('FolderLockedError');
