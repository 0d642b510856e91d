/** How the programs of a measurement tell each other where they listen. */
import {readFileSync, renameSync, writeFileSync} from 'node:fs';

export interface TargetAnnouncement {
  readonly address: string;
}

export interface EntryAnnouncement {
  readonly callerAddress: string;
  /** Answers the processor time and memory of the entry VM's process. */
  readonly usageAddress: string;
  readonly token: string;
  readonly workspace: string;
  readonly service: string;
}

export interface ProcessUsage {
  /** Processor time of the process so far. */
  readonly processorMs: number;
  readonly residentBytes: number;
}

/** Readers see all of it or nothing. */
export function writeAnnouncement(file: string, content: object): void {
  writeFileSync(`${file}.part`, JSON.stringify(content));
  renameSync(`${file}.part`, file);
}

export function readAnnouncement<Content>(file: string): Content {
  return JSON.parse(readFileSync(file, 'utf8')) as Content;
}
