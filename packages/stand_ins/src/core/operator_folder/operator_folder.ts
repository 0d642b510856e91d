/**
 * Writes the files that an operator, a target owner and a calling team need to
 * use a running deployment by hand: profiles, tokens and keys, readable only by
 * the current user. They are valid only as long as the deployment runs.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {teamName} from '@ibisbeam/decision';
import type {Principal} from '@ibisbeam/library';
import type {StandInKeys} from '../keys/index.js';

const FOLDER_MODE = 0o700;
const FILE_MODE = 0o600;

export interface OperatorFolderOptions {
  readonly folder: string;
  readonly keys: StandInKeys;
  readonly platformUrl: string;
  readonly operatorPorts: readonly string[];
  /** Caller address of an entry VM, for use with curl. */
  readonly callerAddress: string;
  readonly workspace: string;
  /** Team that owns the services. */
  readonly owner: string;
  /** An approved calling team. */
  readonly callingTeam: string;
  /** A calling team that has not been approved yet. */
  readonly newTeam: string;
}

/** @returns Path of the shell script that exports the variables to use. */
export async function writeOperatorFolder(
  options: OperatorFolderOptions,
): Promise<string> {
  const folder = resolve(options.folder);
  mkdirSync(folder, {recursive: true, mode: FOLDER_MODE});

  function write(name: string, text: string): string {
    const file = join(folder, name);
    writeFileSync(file, text, {mode: FILE_MODE});
    return file;
  }

  async function writeProfile(
    name: string,
    principal: Principal,
  ): Promise<string> {
    const token = await options.keys.token(principal, 'ibisbeam-operator');
    const profile = {
      store: {url: options.platformUrl},
      operatorPorts: options.operatorPorts,
      token: {file: write(`${name}.token`, token)},
      verificationKeys: {file: keySetFile},
    };
    const text = JSON.stringify(profile, null, 2);
    return write(`${name}.jsonc`, `// Profile of the ${name}.\n${text}\n`);
  }

  const keySetFile = write(
    'keys.json',
    JSON.stringify(options.keys.publicKeys),
  );
  write('signing_key.json', JSON.stringify(options.keys.privateKey));
  const operator = await writeProfile('operator', {
    kind: 'operator',
    name: 'demonstration-operator',
  });
  await writeProfile('owner', {
    kind: 'target-owner',
    name: 'demonstration-owner',
    team: teamName(options.owner),
  });
  const newTeam = teamName(options.newTeam);
  await writeProfile('team', {kind: 'calling-team', team: newTeam});
  const callers = [options.callingTeam, options.newTeam];
  const [approved, unapproved] = await Promise.all(
    callers.map(team =>
      options.keys.token(
        {kind: 'calling-team', team: teamName(team)},
        'ibisbeam-caller',
      ),
    ),
  );
  return write(
    'environment.sh',
    [
      `export IBISBEAM_PROFILE='${operator}'`,
      `export WORKSPACE='${options.workspace}'`,
      `export ENTRY='http://${options.callerAddress}'`,
      `export TOKEN='${approved}'`,
      `export NEW_TEAM_TOKEN='${unapproved}'`,
      '',
    ].join('\n'),
  );
}
