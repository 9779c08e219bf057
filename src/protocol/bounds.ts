/** Bounds of names and numbers that other processes send. */
import * as z from 'zod';

/** The longest name of a service, a version or a place. */
export const MAX_NAME_CHARACTERS = 256;

/** The most requests that an endpoint may claim to run concurrently. */
export const MAX_SLOTS = 1_000_000;

/** One year, in ms. */
const MAX_AGE_MS = 365 * 24 * 60 * 60_000;

/** Ages are differences of rounded times. */
const MIN_AGE_MS = -1_000;

/** The largest count: sums over thousands of gateways stay exact. */
const MAX_COUNT = 1_000_000_000_000;

export const nameSchema = z.string().max(MAX_NAME_CHARACTERS);

export const countSchema = z.int().min(0).max(MAX_COUNT);

/** The time since something happened, in ms. */
export const ageSchema = z.number().min(MIN_AGE_MS).max(MAX_AGE_MS);
