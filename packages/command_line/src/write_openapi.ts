/** Writes `docs/openapi.json`; a test fails when it is out of date. */
import {writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {buildOpenapi} from '@ibisbeam/library';

const FILE = new URL('../../../../docs/openapi.json', import.meta.url);

writeFileSync(
  fileURLToPath(FILE),
  `${JSON.stringify(buildOpenapi(), null, 2)}\n`,
);
