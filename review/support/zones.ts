/** Names of the deployment that clients know. */

/** Regions by zone. */
export const ZONES: Readonly<Record<string, string>> = {
  'marmara-a': 'marmara',
  'marmara-b': 'marmara',
};
export const CLIENT_HOST = 'ficu95.example';
