package io.mothrill.daemon.cli;

/** One command of the command line; args4j fills its fields. */
public interface Command {

  /** Everything went well. */
  int OK = 0;

  /** The command failed. */
  int FAILED = 1;

  /** The input or the arguments were refused. */
  int REFUSED = 2;

  /**
   * Runs the command.
   *
   * @return the exit code
   * @throws Exception when the command fails; its message is printed
   */
  int run() throws Exception;
}
