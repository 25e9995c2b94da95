// Command camphortrail runs and operates the processes of the system.
package main

func main() {}
