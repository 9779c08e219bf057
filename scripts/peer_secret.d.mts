/** Reads the secret for a build in a folder. */
export function readPeerSecret(folder?: string): string;
