/** `npm run bench:reports -- FILE...` compares day reports of the users' bench. */
import {readFileSync} from 'node:fs';
import {formatTable} from '@ibisbeam/library';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {type NamedReport, compareReports} from './compare_reports.js';
import {readDayReport} from './read_report.js';

function main(): void {
  const {files} = yargs(hideBin(process.argv))
    .command('$0 <files..>', 'Compare day reports', command =>
      command.positional('files', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'Reports written by `fleetbench run --report`',
      }),
    )
    .strict()
    .parseSync() as unknown as {readonly files: readonly string[]};
  const days: NamedReport[] = [];
  for (const file of files) {
    readDayReport(readFileSync(file, 'utf8')).caseOf({
      Left: problem => {
        process.exitCode = 1;
        console.error(`${file}: ${problem}`);
      },
      Right: report => {
        days.push({name: file.replace(/\.json$/, ''), report});
      },
    });
  }
  for (const {title, header, rows} of compareReports(days)) {
    console.log(`\n${title}\n${formatTable(header, rows)}`);
  }
}

main();
